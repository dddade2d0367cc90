#include "core/gate.h"
