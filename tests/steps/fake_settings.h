/* The scheduler's settings that drawn tests run at.  */
#ifndef FAKE_SETTINGS_H
#define FAKE_SETTINGS_H

#include "skr/steps.h"

enum
{
  FE_DEFAULT,  /* of skr-batch */
  FE_DEPLOYED, /* of deploy/batch.conf */
  /* The same with one of them changed: */
  FE_NO_SPEEDS,
  FE_NO_FORECAST,
  FE_NO_WAITS,
  FE_UNKNOWN_STOPS,
  FE_UNKNOWN_CHECKPOINTS,
  FE_FAIR_SHARES,
  FE_PIECES,
  FE_VARIANTS
};

/* Changes SETTINGS to VARIANT, and leaves what no setting of skr-batch
   determines.  */
void fe_set (struct sj_settings *settings, int variant);
const char *fe_name (int variant);

#endif
