#ifndef STANDINS_LIB_COAP_SUPPORT_H
#define STANDINS_LIB_COAP_SUPPORT_H

#include "jasminearch/types.h"
#include <chrono>
#include <coap3/coap.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace standins {

/// \returns \p E in libcoap's form.
coap_address_t toCoapAddress(const jasminearch::Endpoint &E);

/// \returns \p Interval in libcoap's clock ticks.
coap_tick_t toTicks(std::chrono::milliseconds Interval);

/// Starts libcoap with its log level, 0 to 7; 7 shows every message.
void initCoap(unsigned LogLevel);

/// \returns the value of the query parameter \p Key ("key=value"), or nothing.
std::string queryValue(const coap_pdu_t *Request, std::string_view Key);

/// \returns all values of a repeatable option, in order.
std::vector<std::string> optionValues(const coap_pdu_t *Pdu,
                                      coap_option_num_t Number);

/// \returns the body as text; empty without one.
std::string payloadText(const coap_pdu_t *Pdu);

/// Adds \p Text as the payload.
void addTextPayload(coap_pdu_t *Pdu, const std::string &Text);

/// \returns whether \p Pdu has the option \p Number.
bool hasOption(const coap_pdu_t *Pdu, coap_option_num_t Number);

} // namespace standins

#endif // STANDINS_LIB_COAP_SUPPORT_H
