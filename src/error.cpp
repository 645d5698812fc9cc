#include "jasminearch/error.h"

namespace jasminearch {

const char *name(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::SettingsUnreadable:
    return "SettingsUnreadable";
  case ErrorCode::SettingsMalformed:
    return "SettingsMalformed";
  case ErrorCode::SettingsUnknownKey:
    return "SettingsUnknownKey";
  case ErrorCode::SettingsMissingKey:
    return "SettingsMissingKey";
  case ErrorCode::SettingsWrongType:
    return "SettingsWrongType";
  case ErrorCode::SettingsOutOfRange:
    return "SettingsOutOfRange";
  case ErrorCode::FrameTruncated:
    return "FrameTruncated";
  case ErrorCode::FrameMalformed:
    return "FrameMalformed";
  case ErrorCode::FrameUnknownVersion:
    return "FrameUnknownVersion";
  case ErrorCode::FrameTooLarge:
    return "FrameTooLarge";
  case ErrorCode::ProxyHeaderTruncated:
    return "ProxyHeaderTruncated";
  case ErrorCode::ProxyHeaderMalformed:
    return "ProxyHeaderMalformed";
  case ErrorCode::CoapMalformed:
    return "CoapMalformed";
  case ErrorCode::MessageMalformed:
    return "MessageMalformed";
  case ErrorCode::MessageTooLarge:
    return "MessageTooLarge";
  case ErrorCode::MessageUnknownType:
    return "MessageUnknownType";
  case ErrorCode::PacketMalformed:
    return "PacketMalformed";
  case ErrorCode::DocumentMalformed:
    return "DocumentMalformed";
  case ErrorCode::SocketFailed:
    return "SocketFailed";
  case ErrorCode::LinkFailed:
    return "LinkFailed";
  case ErrorCode::LinkClosed:
    return "LinkClosed";
  case ErrorCode::LinkLimitReached:
    return "LinkLimitReached";
  case ErrorCode::WrongCluster:
    return "WrongCluster";
  case ErrorCode::UnknownMember:
    return "UnknownMember";
  case ErrorCode::RateLimited:
    return "RateLimited";
  case ErrorCode::NotLeader:
    return "NotLeader";
  case ErrorCode::NoQuorum:
    return "NoQuorum";
  case ErrorCode::RevisionConflict:
    return "RevisionConflict";
  case ErrorCode::RevisionFromFuture:
    return "RevisionFromFuture";
  case ErrorCode::UnknownProfile:
    return "UnknownProfile";
  case ErrorCode::UnknownService:
    return "UnknownService";
  case ErrorCode::UnknownUpstream:
    return "UnknownUpstream";
  case ErrorCode::AlreadyExists:
    return "AlreadyExists";
  case ErrorCode::InUse:
    return "InUse";
  case ErrorCode::InvalidArgument:
    return "InvalidArgument";
  case ErrorCode::OutcomeUnknown:
    return "OutcomeUnknown";
  case ErrorCode::StaleRevision:
    return "StaleRevision";
  case ErrorCode::UnknownHost:
    return "UnknownHost";
  case ErrorCode::MembershipChangePending:
    return "MembershipChangePending";
  case ErrorCode::InvalidRoutes:
    return "InvalidRoutes";
  case ErrorCode::UnknownDataCentre:
    return "UnknownDataCentre";
  case ErrorCode::StorageUnavailable:
    return "StorageUnavailable";
  case ErrorCode::StorageCorrupt:
    return "StorageCorrupt";
  case ErrorCode::StorageFull:
    return "StorageFull";
  case ErrorCode::StorageWrongCluster:
    return "StorageWrongCluster";
  case ErrorCode::StorageNotInitialized:
    return "StorageNotInitialized";
  case ErrorCode::StorageAlreadyInitialized:
    return "StorageAlreadyInitialized";
  case ErrorCode::UnknownServiceAddress:
    return "UnknownServiceAddress";
  case ErrorCode::WrongUpstream:
    return "WrongUpstream";
  case ErrorCode::NoUpstream:
    return "NoUpstream";
  case ErrorCode::PermitMalformed:
    return "PermitMalformed";
  case ErrorCode::PermitForged:
    return "PermitForged";
  case ErrorCode::HopLimitReached:
    return "HopLimitReached";
  case ErrorCode::TakeOverRefused:
    return "TakeOverRefused";
  case ErrorCode::AnnouncementOutdated:
    return "AnnouncementOutdated";
  }
  return "Unknown";
}

std::string toString(const Error &E) {
  return "[" + std::to_string(static_cast<unsigned>(E.Code)) + " " +
         name(E.Code) + "] " + E.Detail;
}

} // namespace jasminearch
