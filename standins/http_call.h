#ifndef JASMINEARCH_STANDINS_HTTP_CALL_H
#define JASMINEARCH_STANDINS_HTTP_CALL_H

#include "jasminearch/types.h"
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <string>

namespace jasminearch::standins {

struct HttpResponse {
  unsigned Status = 0;
  std::string Location;
  std::string Body;
};

/// A connection to one server that stays open between calls, for as long as the
/// server's process keeps it open.
class HttpConnection {
public:
  explicit HttpConnection(const Endpoint &Server) : Server(Server) {}

  /// Sends a request. If the server has closed the connection since the last
  /// call, opens another one. Redirects aren't followed.
  /// \returns nothing without a response within a second, the time limit of the
  /// platform's callers.
  std::optional<HttpResponse> call(const std::string &Method,
                                   const std::string &Target,
                                   const std::string &Body) {
    const bool Reused = Stream.has_value();
    auto Result = callOnce(Method, Target, Body);
    if (!Result && Reused && !TimedOut)
      Result = callOnce(Method, Target, Body);
    return Result;
  }

private:
  using ErrorCode = boost::beast::error_code;

  std::optional<HttpResponse> callOnce(const std::string &Method,
                                       const std::string &Target,
                                       const std::string &Body) {
    namespace http = boost::beast::http;
    constexpr std::chrono::seconds Timeout{1};
    const bool Connected = Stream.has_value();
    if (!Connected)
      Stream.emplace(Context);
    Request = http::request<http::string_body>(http::string_to_verb(Method),
                                               Target, 11);
    Request.body() = Body;
    Request.prepare_payload();
    Response = {};
    Buffer.clear();
    Completed = false;
    Stream->expires_after(Timeout);
    if (Connected)
      write();
    else
      Stream->async_connect(
          boost::asio::ip::tcp::endpoint(
              boost::asio::ip::address_v4(Server.Address), Server.Port),
          [this](ErrorCode Failure) {
            if (!ended(Failure))
              write();
          });
    Context.restart();
    Context.run();
    if (!Completed || !Response.keep_alive())
      Stream.reset();
    if (!Completed)
      return std::nullopt;
    return HttpResponse{Response.result_int(),
                        std::string(Response[http::field::location]),
                        std::move(Response.body())};
  }

  void write() {
    boost::beast::http::async_write(*Stream, Request,
                                    [this](ErrorCode Failure, std::size_t) {
                                      if (!ended(Failure))
                                        read();
                                    });
  }

  void read() {
    boost::beast::http::async_read(*Stream, Buffer, Response,
                                   [this](ErrorCode Failure, std::size_t) {
                                     Completed = !ended(Failure);
                                   });
  }

  /// Notes a failure. \returns whether there was one.
  bool ended(ErrorCode Failure) {
    TimedOut = Failure == boost::beast::error::timeout;
    return Failure.failed();
  }

  Endpoint Server;
  boost::asio::io_context Context;
  std::optional<boost::beast::tcp_stream> Stream;
  boost::beast::flat_buffer Buffer;
  boost::beast::http::request<boost::beast::http::string_body> Request;
  boost::beast::http::response<boost::beast::http::string_body> Response;
  bool Completed = false;
  bool TimedOut = false;
};

/// Sends an HTTP request on a connection of its own and follows up to
/// \p RedirectsLeft redirects (status 307).
/// \param Target path of the request.
/// \returns nothing without a response within a second, the time limit of the
/// platform's callers, or if a redirect names no IPv4 address.
inline std::optional<HttpResponse> sendHttpRequest(const std::string &Method,
                                                   const Endpoint &Server,
                                                   const std::string &Target,
                                                   const std::string &Body,
                                                   int RedirectsLeft = 2) {
  auto Result = HttpConnection(Server).call(Method, Target, Body);
  if (!Result)
    return std::nullopt;
  constexpr unsigned TemporaryRedirect = 307;
  if (Result->Status != TemporaryRedirect || RedirectsLeft == 0)
    return Result;
  // Location has the form http://ADDRESS:PORT/PATH. Only the host and the path
  // are used; the port stays the one of the request.
  const std::string Scheme = "http://";
  if (Result->Location.compare(0, Scheme.size(), Scheme) != 0)
    return std::nullopt;
  const std::string AddressAndPath = Result->Location.substr(Scheme.size());
  const std::size_t Slash = AddressAndPath.find('/');
  boost::system::error_code ParseError;
  const auto Address = boost::asio::ip::make_address_v4(
      AddressAndPath.substr(0, AddressAndPath.find(':')), ParseError);
  if (ParseError || Slash == std::string::npos)
    return std::nullopt;
  return sendHttpRequest(Method, {Address.to_uint(), Server.Port},
                         AddressAndPath.substr(Slash), Body, RedirectsLeft - 1);
}

} // namespace jasminearch::standins

#endif // JASMINEARCH_STANDINS_HTTP_CALL_H
