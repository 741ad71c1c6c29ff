#include "steps/fake_settings.h"

enum
{
  HEADROOM_FORECAST = 4, /* as in deploy/batch.conf */
  /* The platform fills these in.  */
  RECLAIM_MS = 2700,
  STOP_MS = 200,
  CHECKPOINT_MS = 1000
};

const char *
fe_name (int variant)
{
  static const char *const names[FE_VARIANTS]
      = { "default",       "deployed",         "no speeds",
          "no forecast",   "no waits",         "unknown stops",
          "no checkpoint", "with fair shares", "with pieces" };

  return names[variant];
}

static void
set_deployed (struct sj_settings *s)
{
  s->speed_aware = 1;
  s->headroom_forecast = HEADROOM_FORECAST;
  s->reclaim_ms = RECLAIM_MS;
  s->stop_ms = STOP_MS;
  s->checkpoint_interval_ms = CHECKPOINT_MS;
}

void
fe_set (struct sj_settings *s, int variant)
{
  if (variant == FE_DEFAULT)
    return;
  set_deployed (s);
  switch (variant)
    {
    case FE_NO_SPEEDS:
      s->speed_aware = 0;
      break;
    case FE_NO_FORECAST:
      s->headroom_forecast = 0;
      break;
    case FE_NO_WAITS:
      s->reclaim_ms = 0;
      break;
    case FE_UNKNOWN_STOPS:
      s->stop_ms = 0;
      break;
    case FE_UNKNOWN_CHECKPOINTS:
      s->checkpoint_interval_ms = 0;
      break;
    case FE_FAIR_SHARES:
      s->fair_share = 1;
      break;
    case FE_PIECES:
      s->record_pieces = 1;
      break;
    default:
      break;
    }
}
