#include "adapters/log.h"
