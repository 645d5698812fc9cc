#ifndef JASMINEARCH_CONTROL_CTL_OUTPUT_H
#define JASMINEARCH_CONTROL_CTL_OUTPUT_H

#include "jasminearch/control/command.h"
#include "jasminearch/control/ctl_options.h"
#include "jasminearch/error.h"
#include "jasminearch/link/messages.h"
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// What jasminectl asks, sends and prints.
namespace jasminearch::control {

/// What jasminectl writes and how it exits.
struct CtlOutput {
  /// For standard output.
  std::string Text;
  /// For standard error.
  std::string ErrorText;
  CtlStatus Status = CtlStatus::Done;
};

/// \returns the queries that a request needs first. Commands read the object
/// to learn its revision.
std::vector<link::QueryKind> requiredQueries(const CtlRequest &Request);

/// Adds the answer to a query to \p Document: a list under the name of its
/// kind ("profiles", "services", "upstreams", "entries", "members"), any other
/// answer as it is.
void addQueryResult(nlohmann::json &Document, link::QueryKind Kind,
                    const nlohmann::json &Answer);

/// \returns the command that a request sends.
/// \param Document answers to requiredQueries().
/// \param Id command id.
Expected<Command> buildCommand(const CtlRequest &Request,
                               const nlohmann::json &Document,
                               const std::string &Id);

/// Makes a command id: \p Random as hexadecimal digits and a check of the
/// request's command words.
std::string makeCommandId(const CtlRequest &Request, const Bytes &Random);

/// \returns InvalidArgument if \p Request resends another command than the one
/// its command id was made for.
Expected<void> checkCommandId(const CtlRequest &Request);

/// Presents the answers to requiredQueries().
CtlOutput formatDocument(const CtlRequest &Request,
                         const nlohmann::json &Document);

/// Presents the result of a command.
CtlOutput formatResult(const CtlRequest &Request, const std::string &Id,
                       const CommandResult &Result);

/// Presents a failure; the status follows from its code.
CtlOutput formatFailure(const CtlRequest &Request, const Error &Reason);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_CTL_OUTPUT_H
