#include <limits.h>
#include <stdio.h>

#include "platform.h"
#include "skr/base.h"
#include "skr/opt.h"

static const struct opt_def defs[]
    = { { "listen", OPT_STRING, "IP:PORT", 9, 60, "127.0.0.1:0",
          "address to serve; port 0 picks a free one",
          offsetof (struct sp_settings, listen) },
        { "writes-per-second", OPT_INT, "writes", 0, 1000000, "0",
          "writes accepted per second; 0: no limit",
          offsetof (struct sp_settings, writes_per_second) },
        { "list-lag-ms", OPT_INT, "ms", 0, 600000, "0", "age of the VM list",
          offsetof (struct sp_settings, list_lag_ms) },
        { "seed", OPT_INT, "", 0, INT_MAX, "1", "seed of the random faults",
          offsetof (struct sp_settings, seed) },
        { NULL } };

int
main (int argc, char **argv)
{
  struct sp_settings settings;
  struct sp_platform sp;

  opt_parse (defs, &settings, argc, argv, "[OPTION...]",
             "Stand-in for the platform: serves the table, the objects and "
             "the VM list.",
             NULL);
  if (bs_init () != BS_OK)
    return 1;
  bs_stop_on_signals ();
  sp_init (&sp, &settings);
  if (sv_init (&sp.server, settings.listen, sp_handle, NULL, &sp) != SV_OK)
    {
      fprintf (stderr, "skr-platform: cannot listen on %s\n", settings.listen);
      sp_fini (&sp);
      return 1;
    }
  sv_announce (&sp.server);
  while (!bs_stop_wait (1000))
    ;
  sv_fini (&sp.server);
  sp_fini (&sp);
  return 0;
}
