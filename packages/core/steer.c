#include "core/steer.h"
