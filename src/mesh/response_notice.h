// Reads the headers in which an instance says something about itself.
#ifndef MESH_RESPONSE_NOTICE_H_
#define MESH_RESPONSE_NOTICE_H_

#include <span>

#include "core/instance_notice.h"
#include "io/http_message.h"
#include "mesh/call_header_names.h"

namespace verbenastile {

// Reads the notices in the headers of a response. A rate limit is a decimal
// number without sign or exponent. Of several in one response the lowest
// applies, and one that cannot be parsed makes all of them invalid.
ResponseNotice ParseResponseNotice(std::span<const HttpHeader> headers,
                                   const CallHeaderNames& names);

}  // namespace verbenastile

#endif  // MESH_RESPONSE_NOTICE_H_
