#include "adapters/platform_http.h"
