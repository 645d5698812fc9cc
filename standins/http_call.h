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

struct HttpAnswer {
  unsigned Status = 0;
  std::string Location;
  std::string Body;
};

/// Makes one HTTP call and follows two redirects. \returns nothing without an
/// answer within a second, as the platform's callers do.
inline std::optional<HttpAnswer> httpCall(const std::string &Method,
                                          const Endpoint &To,
                                          const std::string &Target,
                                          const std::string &Body,
                                          int Redirects = 2) {
  namespace beast = boost::beast;
  namespace http = boost::beast::http;
  using Tcp = boost::asio::ip::tcp;
  constexpr std::chrono::seconds Patience{1};
  boost::asio::io_context Context;
  beast::tcp_stream Stream(Context);
  beast::flat_buffer Buffer;
  http::request<http::string_body> Request(http::string_to_verb(Method), Target,
                                           11);
  Request.body() = Body;
  Request.prepare_payload();
  http::response<http::string_body> Response;
  bool Done = false;
  Stream.expires_after(Patience);
  Stream.async_connect(
      Tcp::endpoint(boost::asio::ip::address_v4(To.Address), To.Port),
      [&](beast::error_code Failed) {
        if (Failed)
          return;
        http::async_write(
            Stream, Request, [&](beast::error_code WriteFailed, std::size_t) {
              if (WriteFailed)
                return;
              http::async_read(Stream, Buffer, Response,
                               [&](beast::error_code ReadFailed, std::size_t) {
                                 Done = !ReadFailed;
                               });
            });
      });
  Context.run();
  if (!Done)
    return std::nullopt;
  HttpAnswer Answer{Response.result_int(),
                    std::string(Response[http::field::location]),
                    std::move(Response.body())};
  constexpr unsigned TemporaryRedirect = 307;
  if (Answer.Status != TemporaryRedirect || Redirects == 0)
    return Answer;
  // http://ADDRESS:PORT/PATH
  const std::string Scheme = "http://";
  if (Answer.Location.compare(0, Scheme.size(), Scheme) != 0)
    return std::nullopt;
  const std::string Rest = Answer.Location.substr(Scheme.size());
  const std::size_t Slash = Rest.find('/');
  boost::system::error_code Bad;
  const auto Address =
      boost::asio::ip::make_address_v4(Rest.substr(0, Rest.find(':')), Bad);
  if (Bad || Slash == std::string::npos)
    return std::nullopt;
  return httpCall(Method, {Address.to_uint(), To.Port}, Rest.substr(Slash),
                  Body, Redirects - 1);
}

} // namespace jasminearch::standins

#endif // JASMINEARCH_STANDINS_HTTP_CALL_H
