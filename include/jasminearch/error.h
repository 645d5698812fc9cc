#ifndef JASMINEARCH_ERROR_H
#define JASMINEARCH_ERROR_H

#include <compare>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace jasminearch {

/// Error codes. The numbers are part of the interface (logs, exit messages,
/// CommandResult) and are never reused; docs/errors.md describes each one.
enum class ErrorCode : std::uint16_t {
  // 1xx: settings.
  SettingsUnreadable = 101,
  SettingsMalformed = 102,
  SettingsUnknownKey = 103,
  SettingsMissingKey = 104,
  SettingsWrongType = 105,
  SettingsOutOfRange = 106,

  // 2xx: decoding of external input.
  FrameTruncated = 201,
  FrameMalformed = 202,
  FrameUnknownVersion = 203,
  FrameTooLarge = 204,
  ProxyHeaderTruncated = 205,
  ProxyHeaderMalformed = 206,
  CoapMalformed = 207,
  MessageMalformed = 208,
  MessageTooLarge = 209,
  MessageUnknownType = 210,
  PacketMalformed = 211,
  DocumentMalformed = 212,

  // 3xx: links and sockets.
  SocketFailed = 301,
  LinkFailed = 302,
  LinkClosed = 303,
  LinkLimitReached = 304,
  WrongCluster = 305,
  UnknownMember = 306,
  RateLimited = 307,

  // 4xx: commands and control state.
  NotLeader = 401,
  NoQuorum = 402,
  RevisionConflict = 403,
  RevisionFromFuture = 404,
  UnknownProfile = 405,
  UnknownService = 406,
  UnknownUpstream = 407,
  AlreadyExists = 408,
  InUse = 409,
  InvalidArgument = 410,
  OutcomeUnknown = 411,
  StaleRevision = 412,
  UnknownHost = 413,
  MembershipChangePending = 414,
  InvalidRoutes = 415,
  UnknownDataCentre = 416,

  // 5xx: storage.
  StorageUnavailable = 501,
  StorageCorrupt = 502,
  StorageFull = 503,
  StorageWrongCluster = 504,
  StorageNotInitialized = 505,
  StorageAlreadyInitialized = 506,

  // 6xx: traffic.
  UnknownServiceAddress = 601,
  WrongUpstream = 602,
  NoUpstream = 603,
  PermitMalformed = 604,
  PermitForged = 605,
  HopLimitReached = 606,
  TakeOverRefused = 607,
  AnnouncementOutdated = 608,
};

/// An error code with a description for operators.
struct Error {
  ErrorCode Code{};
  /// What failed and where, the value found and the values expected.
  std::string Detail;

  auto operator<=>(const Error &) const = default;
};

/// Either a value or an Error.
template <typename T> using Expected = tl::expected<T, Error>;

/// \returns the stable name of \p Code, for example "RevisionConflict", or
/// "Unknown" for a number that this version doesn't define.
const char *name(ErrorCode Code);

/// \returns an error that converts to any Expected.
inline tl::unexpected<Error> fail(ErrorCode Code, std::string Detail) {
  return tl::unexpected<Error>(Error{Code, std::move(Detail)});
}

/// \returns \p E formatted as "[403 RevisionConflict] detail".
std::string toString(const Error &E);

} // namespace jasminearch

#endif // JASMINEARCH_ERROR_H
