#include "core/seat.h"
