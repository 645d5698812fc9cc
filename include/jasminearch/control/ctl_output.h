#ifndef JASMINEARCH_CONTROL_CTL_OUTPUT_H
#define JASMINEARCH_CONTROL_CTL_OUTPUT_H

#include "jasminearch/control/command.h"
#include "jasminearch/control/ctl_options.h"
#include "jasminearch/error.h"
#include "jasminearch/link/messages.h"
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

/// What jasminectl asks, sends and prints.
namespace jasminearch::control {

/// What jasminectl writes and how it exits.
struct CtlOutput {
  /// For standard output.
  std::string Text;
  /// For standard error.
  std::string Complaint;
  CtlStatus Status = CtlStatus::Done;
};

/// \returns the query that a request needs first, if any. Commands read the
/// object to learn its revision.
std::optional<link::QueryKind> queryFor(const CtlRequest &Request);

/// \returns the command that a request sends.
/// \param Document answer to queryFor(), or null if it asks nothing.
/// \param Id command id.
Expected<Command> commandFor(const CtlRequest &Request,
                             const nlohmann::json &Document,
                             const std::string &Id);

/// Makes a command id: \p Random as hexadecimal digits and a check of the
/// request's command words.
std::string makeCommandId(const CtlRequest &Request, const Bytes &Random);

/// \returns InvalidArgument if \p Request resends another command than the one
/// its command id was made for.
Expected<void> checkCommandId(const CtlRequest &Request);

/// Presents the answer to a query.
CtlOutput presentDocument(const CtlRequest &Request,
                          const nlohmann::json &Document);

/// Presents the result of a command.
CtlOutput presentResult(const CtlRequest &Request, const std::string &Id,
                        const CommandResult &Result);

/// Presents a failure; the status follows from its code.
CtlOutput presentFailure(const CtlRequest &Request, const Error &Reason);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_CTL_OUTPUT_H
