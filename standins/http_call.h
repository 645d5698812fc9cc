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

/// Sends an HTTP request and follows up to \p RedirectsLeft redirects (status
/// 307).
/// \param Target path of the request.
/// \returns nothing without a response within a second, the time limit of the
/// platform's callers, or if a redirect names no IPv4 address.
inline std::optional<HttpResponse> sendHttpRequest(const std::string &Method,
                                                   const Endpoint &Server,
                                                   const std::string &Target,
                                                   const std::string &Body,
                                                   int RedirectsLeft = 2) {
  namespace beast = boost::beast;
  namespace http = boost::beast::http;
  using Tcp = boost::asio::ip::tcp;
  constexpr std::chrono::seconds Timeout{1};
  boost::asio::io_context Context;
  beast::tcp_stream Stream(Context);
  beast::flat_buffer Buffer;
  http::request<http::string_body> Request(http::string_to_verb(Method), Target,
                                           11);
  Request.body() = Body;
  Request.prepare_payload();
  http::response<http::string_body> Response;
  bool Completed = false;
  Stream.expires_after(Timeout);
  Stream.async_connect(
      Tcp::endpoint(boost::asio::ip::address_v4(Server.Address), Server.Port),
      [&](beast::error_code ConnectError) {
        if (ConnectError)
          return;
        http::async_write(
            Stream, Request, [&](beast::error_code WriteError, std::size_t) {
              if (WriteError)
                return;
              http::async_read(Stream, Buffer, Response,
                               [&](beast::error_code ReadError, std::size_t) {
                                 Completed = !ReadError;
                               });
            });
      });
  Context.run();
  if (!Completed)
    return std::nullopt;
  HttpResponse Result{Response.result_int(),
                      std::string(Response[http::field::location]),
                      std::move(Response.body())};
  constexpr unsigned TemporaryRedirect = 307;
  if (Result.Status != TemporaryRedirect || RedirectsLeft == 0)
    return Result;
  // Location has the form http://ADDRESS:PORT/PATH. Only the host and the path
  // are used; the port stays the one of the request.
  const std::string Scheme = "http://";
  if (Result.Location.compare(0, Scheme.size(), Scheme) != 0)
    return std::nullopt;
  const std::string AddressAndPath = Result.Location.substr(Scheme.size());
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
