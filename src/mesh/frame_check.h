// Checks the HTTP messages in frames: what a peer sent is written to callers
// and instances.
#ifndef MESH_FRAME_CHECK_H_
#define MESH_FRAME_CHECK_H_

#include "mesh/link_frames.h"

namespace verbenastile {

// Whether the call has a valid method, target and headers, and none that frames
// its body.
bool IsValidCall(const GateCall& call);

// Whether the response has the status of a final response and valid headers.
bool IsValidResponse(const GateResponse& response);

}  // namespace verbenastile

#endif  // MESH_FRAME_CHECK_H_
