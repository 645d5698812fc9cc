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

/// \returns \p E as a libcoap address.
coap_address_t toCoapAddress(const jasminearch::Endpoint &E);

/// \returns \p Interval in libcoap's clock ticks.
coap_tick_t toTicks(std::chrono::milliseconds Interval);

/// Initialises libcoap. \param LogLevel 0 to 7; 7 logs every message.
void initCoap(unsigned LogLevel);

/// \returns the value of the query parameter \p Key ("key=value"), or an empty
/// string without it.
std::string queryValue(const coap_pdu_t *Request, std::string_view Key);

/// \returns all values of the option \p Number in order.
std::vector<std::string> optionValues(const coap_pdu_t *Pdu,
                                      coap_option_num_t Number);

/// \returns the payload as text; empty without one.
std::string payloadText(const coap_pdu_t *Pdu);

/// Sets \p Text as the payload.
void addTextPayload(coap_pdu_t *Pdu, const std::string &Text);

/// \returns whether \p Pdu has the option \p Number.
bool hasOption(const coap_pdu_t *Pdu, coap_option_num_t Number);

} // namespace standins

#endif // STANDINS_LIB_COAP_SUPPORT_H
