#include "standins/lib/coap_support.h"
#include <arpa/inet.h>
#include <cstring>

namespace standins {

coap_address_t toCoapAddress(const jasminearch::Endpoint &E) {
  coap_address_t Address;
  coap_address_init(&Address);
  Address.size = sizeof(Address.addr.sin);
  Address.addr.sin.sin_family = AF_INET;
  Address.addr.sin.sin_addr.s_addr = htonl(E.Address);
  Address.addr.sin.sin_port = htons(E.Port);
  return Address;
}

coap_tick_t toTicks(std::chrono::milliseconds Interval) {
  constexpr std::int64_t MillisecondsPerSecond = 1000;
  return static_cast<coap_tick_t>(Interval.count()) * COAP_TICKS_PER_SECOND /
         MillisecondsPerSecond;
}

void initCoap(unsigned LogLevel) {
  coap_startup();
  coap_set_log_level(static_cast<coap_log_t>(LogLevel));
}

std::vector<std::string> optionValues(const coap_pdu_t *Pdu,
                                      coap_option_num_t Number) {
  std::vector<std::string> Values;
  coap_opt_iterator_t Iterator;
  coap_option_iterator_init(Pdu, &Iterator, COAP_OPT_ALL);
  while (const coap_opt_t *Option = coap_option_next(&Iterator))
    if (Iterator.number == Number)
      Values.emplace_back(
          reinterpret_cast<const char *>(coap_opt_value(Option)),
          coap_opt_length(Option));
  return Values;
}

std::string queryValue(const coap_pdu_t *Request, std::string_view Key) {
  for (const std::string &Parameter :
       optionValues(Request, COAP_OPTION_URI_QUERY))
    if (Parameter.size() > Key.size() && Parameter.starts_with(Key) &&
        Parameter[Key.size()] == '=')
      return Parameter.substr(Key.size() + 1);
  return {};
}

std::string payloadText(const coap_pdu_t *Pdu) {
  std::size_t Length = 0;
  std::size_t Offset = 0;
  std::size_t Total = 0;
  const std::uint8_t *Data = nullptr;
  if (!coap_get_data_large(Pdu, &Length, &Data, &Offset, &Total))
    return {};
  return {reinterpret_cast<const char *>(Data), Length};
}

void addTextPayload(coap_pdu_t *Pdu, const std::string &Text) {
  coap_add_data(Pdu, Text.size(),
                reinterpret_cast<const std::uint8_t *>(Text.data()));
}

bool hasOption(const coap_pdu_t *Pdu, coap_option_num_t Number) {
  coap_opt_iterator_t Iterator;
  return coap_check_option(Pdu, Number, &Iterator) != nullptr;
}

} // namespace standins
