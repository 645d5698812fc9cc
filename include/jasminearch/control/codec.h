#ifndef JASMINEARCH_CONTROL_CODEC_H
#define JASMINEARCH_CONTROL_CODEC_H

#include "jasminearch/control/command.h"
#include "jasminearch/control/config_model.h"
#include "jasminearch/control/promise_counts.h"
#include "jasminearch/control/state_machine.h"
#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <nlohmann/json.hpp>

namespace jasminearch::control {

/// JSON conversions, found by nlohmann::json through argument-dependent lookup.
/// The buckets of a table are packed into one byte string to keep snapshots
/// small.
void to_json(nlohmann::json &Out, const Profile &Value);
void from_json(const nlohmann::json &In, Profile &Value);
void to_json(nlohmann::json &Out, const Service &Value);
void from_json(const nlohmann::json &In, Service &Value);
void to_json(nlohmann::json &Out, const Upstream &Value);
void from_json(const nlohmann::json &In, Upstream &Value);
void to_json(nlohmann::json &Out, const EntryHost &Value);
void from_json(const nlohmann::json &In, EntryHost &Value);
void to_json(nlohmann::json &Out, const BucketTable &Value);
void from_json(const nlohmann::json &In, BucketTable &Value);
void to_json(nlohmann::json &Out, const Configuration &Value);
void from_json(const nlohmann::json &In, Configuration &Value);
void to_json(nlohmann::json &Out, const Command &Value);
void from_json(const nlohmann::json &In, Command &Value);
void to_json(nlohmann::json &Out, const CommandResult &Value);
void from_json(const nlohmann::json &In, CommandResult &Value);
void to_json(nlohmann::json &Out, const OutcomeReport &Value);
void from_json(const nlohmann::json &In, OutcomeReport &Value);

/// Maximum nesting of arrays and objects in a CBOR message. Valid messages nest
/// at most six deep.
inline constexpr int MaxCborDepth = 16;

/// Parses untrusted CBOR. Fails with MessageMalformed for invalid CBOR, and for
/// nesting beyond MaxCborDepth, which could exhaust the stack of the recursive
/// parser.
Expected<nlohmann::json> parseCbor(const Bytes &Encoded);

/// CBOR encoding of log entries and snapshots. Decoders fail with
/// MessageMalformed for any bytes that the encoder would not produce.
Bytes encodeCommand(const Command &Value);
Expected<Command> decodeCommand(const Bytes &Encoded);
Bytes encodeState(const State &Value);
Expected<State> decodeState(const Bytes &Encoded);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_CODEC_H
