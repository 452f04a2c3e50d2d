#include "gateway_instance.h"

namespace eelgrassgw {

template class gateway<platform::adapter>;

} // namespace eelgrassgw
