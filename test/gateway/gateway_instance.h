#pragma once

/// Declares the gateway of the users' platform, which all tests share, so that only gateway_instance.cpp
/// compiles it.

#include "gateway/gateway.h"
#include "platform/adapter.h"

namespace eelgrassgw {

extern template class gateway<platform::adapter>;

} // namespace eelgrassgw
