#include "jasminearch/cbor_input.h"
#include <string>

namespace jasminearch {

namespace {

using nlohmann::json;

/// Rejects maps, invalid CBOR and arrays nested too deeply,
/// without building a value.
class DepthChecker final : public nlohmann::json_sax<json> {
public:
  explicit DepthChecker(unsigned MaxDepth) : MaxDepth(MaxDepth) {}
  bool null() override { return true; }
  bool boolean(bool /*Value*/) override { return true; }
  bool number_integer(number_integer_t /*Value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*Value*/) override { return true; }
  bool number_float(number_float_t /*Value*/,
                    const string_t & /*Text*/) override {
    return true;
  }
  bool string(string_t & /*Value*/) override { return true; }
  bool binary(binary_t & /*Value*/) override { return true; }
  bool start_object(std::size_t /*Elements*/) override { return false; }
  bool key(string_t & /*Value*/) override { return false; }
  bool end_object() override { return false; }
  bool start_array(std::size_t /*Elements*/) override {
    return ++Depth <= MaxDepth;
  }
  bool end_array() override {
    --Depth;
    return true;
  }
  bool parse_error(std::size_t /*Position*/, const std::string & /*Token*/,
                   const nlohmann::detail::exception & /*E*/) override {
    return false;
  }

private:
  unsigned MaxDepth;
  unsigned Depth = 0;
};

} // namespace

Expected<json> parseCborArrays(absl::Span<const std::uint8_t> Encoded,
                               unsigned MaxDepth) {
  DepthChecker Check(MaxDepth);
  if (!json::sax_parse(Encoded.begin(), Encoded.end(), &Check,
                       json::input_format_t::cbor))
    return fail(ErrorCode::MessageMalformed,
                "invalid CBOR, or contains a map or more than " +
                    std::to_string(MaxDepth) + " nested arrays");
  json Decoded = json::from_cbor(Encoded.begin(), Encoded.end(), true, false);
  if (Decoded.is_discarded())
    return fail(ErrorCode::MessageMalformed, "invalid CBOR");
  return Decoded;
}

} // namespace jasminearch
