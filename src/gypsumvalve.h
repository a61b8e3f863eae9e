#ifndef GYPSUMVALVE_H
#define GYPSUMVALVE_H

/* Public interface of libgypsumvalve: its coordination modules, which use no
   input, output, threads or clocks. Events, times and random numbers are
   arguments; see docs/design.md and examples/embed.c.

   Programs include an installed copy as <gypsumvalve/gypsumvalve.h>. If the
   directory itself were in the include path (-I), limits.h would hide the
   system's <limits.h>, which msgpack needs. */

#include "burn.h"
#include "error.h"
#include "estimate.h"
#include "ledger.h"
#include "once.h"
#include "outcome.h"
#include "placement.h"
#include "queue.h"
#include "reserve.h"
#include "retry.h"
#include "settings.h"
#include "slots.h"
#include "str.h"
#include "ticket.h"
#include "wave.h"

#define GV_VERSION "0.1.0"

#endif
