#include "jasminearch/control/ctl_placement.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace jasminearch::control {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using nlohmann::json;
using Tcp = asio::ip::tcp;

constexpr unsigned HttpVersion = 11;

/// One GET over a connection of its own. Asynchronous, because Beast applies
/// timeouts only to asynchronous operations.
class GetRequest {
public:
  GetRequest(const Endpoint &Host, const std::string &Target,
             std::chrono::milliseconds Timeout)
      : Stream(Context), Peer(asio::ip::address_v4(Host.Address), Host.Port),
        Request(http::verb::get, Target, HttpVersion) {
    Request.set(http::field::host, toString(Host));
    Parser.body_limit(MaxExplanationBytes);
    Stream.expires_after(Timeout);
  }

  /// \returns the response, or why there is none.
  std::pair<beast::error_code, http::response<http::string_body>> run() {
    Stream.async_connect(Peer, [this](beast::error_code Failed) {
      if (!finish(Failed))
        send();
    });
    Context.run();
    return {Result, Parser.release()};
  }

private:
  void send() {
    http::async_write(Stream, Request,
                      [this](beast::error_code Failed, std::size_t) {
                        if (!finish(Failed))
                          receive();
                      });
  }

  void receive() {
    http::async_read(
        Stream, Buffer, Parser,
        [this](beast::error_code Failed, std::size_t) { finish(Failed); });
  }

  /// Records the result of a step. \returns whether it failed.
  bool finish(beast::error_code Failed) {
    Result = Failed;
    return static_cast<bool>(Failed);
  }

  asio::io_context Context;
  beast::tcp_stream Stream;
  Tcp::endpoint Peer;
  http::request<http::empty_body> Request;
  beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  beast::error_code Result;
};

/// \returns the error text of an entry host's refusal.
std::string refusalText(const std::string &Body) {
  const json Document = json::parse(Body, nullptr, false);
  if (Document.is_object() && Document.contains("error") &&
      Document["error"].is_string())
    return Document["error"].get<std::string>();
  return "no error text";
}

std::string costText(const json &Candidate, const std::string &Unit) {
  constexpr double MicrosPerMilli = 1000;
  if (!Candidate.contains("cost"))
    return "cost -";
  const auto Cost = Candidate.at("cost").get<double>();
  return Unit == "us" ? absl::StrFormat("cost %.1f ms", Cost / MicrosPerMilli)
                      : absl::StrFormat("load %.2f", Cost);
}

std::string candidateText(const json &Candidate, const std::string &Unit) {
  const auto Number = [&](const char *Name) {
    return Candidate.value(Name, std::int64_t{0});
  };
  std::string Text =
      absl::StrFormat("%s %-21s  %-12s  %-18s  ",
                      Candidate.at("chosen").get<bool>() ? "*" : " ",
                      Candidate.at("agent").get<std::string>(),
                      Candidate.at("data_centre").get<std::string>(),
                      Candidate.at("state").get<std::string>());
  if (!Candidate.contains("report_age_ms"))
    return Text + "no report\n";
  absl::StrAppendFormat(
      &Text,
      "%s, report %d ms old, outstanding %d, flows %d, placed since %d, "
      "service time %d us, remaining work %d us, overdue %d ms\n",
      costText(Candidate, Unit), Number("report_age_ms"), Number("outstanding"),
      Number("active_flows"), Number("placed_since_report"),
      Number("service_time_us"), Number("remaining_work_us"),
      Number("overdue_ms"));
  return Text;
}

std::string admissionText(const json &Admission) {
  return absl::StrFormat(
      "upload: %s; share free: %s, open %d with load %.2f of %.2f, waiting %d, "
      "expected wait %d ms\n",
      Admission.at("decision").get<std::string>(),
      Admission.at("share_free").get<bool>() ? "yes" : "no",
      Admission.at("open").get<std::int64_t>(),
      Admission.at("load").get<double>(), Admission.at("limit").get<double>(),
      Admission.at("waiting").get<std::int64_t>(),
      Admission.at("expected_wait_ms").get<std::int64_t>());
}

std::string placementText(const json &Document) {
  std::string Text =
      absl::StrCat(Document.at("caller").get<std::string>(), " > ",
                   Document.at("service_address").get<std::string>(), ": ",
                   Document.at("outcome").get<std::string>());
  if (Document.contains("agent"))
    absl::StrAppend(&Text, " ", Document.at("agent").get<std::string>());
  absl::StrAppend(&Text, " (", Document.at("reason").get<std::string>(), ")\n",
                  "route ", Document.at("route").get<std::string>(),
                  ", service ", Document.at("service").get<std::string>(),
                  ", routes version ",
                  Document.at("routes_version").get<std::uint64_t>(), "\n");
  if (Document.contains("admission"))
    Text += admissionText(Document.at("admission"));
  const auto Unit = Document.at("cost_unit").get<std::string>();
  for (const json &Candidate : Document.at("candidates"))
    Text += candidateText(Candidate, Unit);
  absl::StrAppend(&Text, Document.at("not_asked").get<std::uint64_t>(),
                  " further agents of the service are not asked\n");
  return Text;
}

} // namespace

Expected<std::string> httpGet(const Endpoint &Host, const std::string &Target,
                              std::chrono::milliseconds Timeout) {
  const auto [Failed, Response] = GetRequest(Host, Target, Timeout).run();
  if (Failed)
    return fail(ErrorCode::LinkFailed,
                absl::StrCat("no answer from ", toString(Host), ": ",
                             Failed.message()));
  if (Response.result() == http::status::ok)
    return Response.body();
  if (Response.result() == http::status::bad_request)
    return fail(ErrorCode::InvalidArgument,
                absl::StrCat(toString(Host), " refused the query: ",
                             refusalText(Response.body())));
  return fail(ErrorCode::MessageMalformed,
              absl::StrCat(toString(Host), " answered with status ",
                           Response.result_int(), ": ",
                           refusalText(Response.body())));
}

CtlOutput formatPlacement(const CtlRequest &Request, const std::string &Body) {
  try {
    const json Document = json::parse(Body);
    const std::string Text = placementText(Document);
    return {Request.Json ? Body + "\n" : Text, "", CtlStatus::Done};
  } catch (const json::exception &Reason) {
    return formatFailure(Request,
                         {ErrorCode::MessageMalformed,
                          absl::StrCat("the entry host's answer is malformed: ",
                                       Reason.what())});
  }
}

CtlOutput runExplainPlacement(const CtlRequest &Request) {
  const auto Body =
      httpGet(*Request.Entry,
              absl::StrCat("/placement?caller=", toString(*Request.Caller),
                           "&service=", toString(*Request.Service)),
              Request.Timeout);
  return Body ? formatPlacement(Request, *Body)
              : formatFailure(Request, Body.error());
}

} // namespace jasminearch::control
