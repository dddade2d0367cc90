#include "adapters/peer_rpc.h"
