#include "core/ticket.h"
