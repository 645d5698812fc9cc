#ifndef STANDINS_LIB_SHEET_BODY_H
#define STANDINS_LIB_SHEET_BODY_H

#include <cstddef>
#include <string>

namespace standins {

/// Body of a large answer: depends on the request's id in every part, so that
/// a caller notices blocks of another request's answer.
inline std::string largeBody(const std::string &Service, const std::string &Id,
                             std::size_t Size) {
  const std::string Unit = Service + "/" + Id + ";";
  std::string Body;
  Body.reserve(Size + Unit.size());
  while (Body.size() < Size)
    Body += Unit;
  Body.resize(Size);
  return Body;
}

} // namespace standins

#endif // STANDINS_LIB_SHEET_BODY_H
