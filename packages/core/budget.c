#include "core/budget.h"
