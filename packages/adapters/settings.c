#include "adapters/settings.h"
