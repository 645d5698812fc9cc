#ifndef STANDINS_LIB_SHEET_BODY_H
#define STANDINS_LIB_SHEET_BODY_H

#include <cstddef>
#include <string>

namespace standins {

/// \returns a large response body of \p Size bytes. The request's id is
/// repeated throughout, so that a caller notices blocks that belong to the
/// answer to another request.
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
