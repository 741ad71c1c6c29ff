/* The scheduler's settings that drawn tests run at.  */
#ifndef FAKE_SETTINGS_H
#define FAKE_SETTINGS_H

#include "skr/steps.h"

enum
{
  FS_DEFAULT,  /* of skr-batch */
  FS_DEPLOYED, /* of deploy/batch.conf */
  /* The same with one of them changed: */
  FS_NO_SPEEDS,
  FS_NO_FORECAST,
  FS_NO_WAITS,
  FS_UNKNOWN_STOPS,
  FS_UNKNOWN_CHECKPOINTS,
  FS_FAIR_SHARES,
  FS_PIECES,
  FS_VARIANTS
};

/* Changes SETTINGS to VARIANT, and leaves what no setting of skr-batch
   determines.  */
void fs_set (struct sj_settings *settings, int variant);
const char *fs_name (int variant);

#endif
