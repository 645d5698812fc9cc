#ifndef JASMINEARCH_CONTROL_CTL_OUTPUT_H
#define JASMINEARCH_CONTROL_CTL_OUTPUT_H

#include "jasminearch/control/command.h"
#include "jasminearch/control/ctl_options.h"
#include "jasminearch/error.h"
#include "jasminearch/link/messages.h"
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// Queries, commands and output of jasminectl.
namespace jasminearch::control {

/// Output and exit status of jasminectl.
struct CtlOutput {
  /// For standard output.
  std::string Text;
  /// For standard error.
  std::string ErrorText;
  CtlStatus Status = CtlStatus::Done;
};

/// \returns the queries that must be answered first. Commands query the object
/// they change to get its revision.
std::vector<link::QueryKind> requiredQueries(const CtlRequest &Request);

/// Adds the answer to a query to \p Document. Lists are added as a member named
/// after their kind ("profiles", "services", "upstreams", "entries",
/// "members"); any other answer replaces the document.
void addQueryResult(nlohmann::json &Document, link::QueryKind Kind,
                    const nlohmann::json &Answer);

/// Builds the command for a request.
/// \param Document answers to requiredQueries().
/// \param Id command id.
/// \returns the command, or MessageMalformed if \p Document can't be read.
Expected<Command> buildCommand(const CtlRequest &Request,
                               const nlohmann::json &Document,
                               const std::string &Id);

/// Generates a command id from \p Random, in hexadecimal, and a checksum of the
/// request's action and arguments.
std::string makeCommandId(const CtlRequest &Request, const Bytes &Random);

/// Checks that the command id of \p Request was generated for the same command.
/// \returns InvalidArgument if it belongs to a different one.
Expected<void> checkCommandId(const CtlRequest &Request);

/// Formats the answers to requiredQueries().
CtlOutput formatDocument(const CtlRequest &Request,
                         const nlohmann::json &Document);

/// Formats the result of a command.
CtlOutput formatResult(const CtlRequest &Request, const std::string &Id,
                       const CommandResult &Result);

/// Formats an error; the exit status depends on its code.
CtlOutput formatFailure(const CtlRequest &Request, const Error &Reason);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_CTL_OUTPUT_H
