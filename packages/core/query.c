#include "core/query.h"
