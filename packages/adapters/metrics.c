#include "adapters/metrics.h"
