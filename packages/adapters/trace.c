#include "adapters/trace.h"
