/* Functions shared by the readers of flags, variables and settings files.  */
#ifndef SKR_BASE_OPT_H
#define SKR_BASE_OPT_H

#include "skr/opt.h"

enum
{
  OPT_NAME_SIZE = 64, /* bytes of a variable name with its NUL */
  OPT_EXIT_USAGE = 2
};

/* Writes the name of the environment variable of the setting NAME.  */
void opt_variable_name (char out[OPT_NAME_SIZE], const char *name);
/* Checks VALUE and stores it in TARGET; a string is not copied, TARGET points
   to it.  Returns 0 or BS_EINVAL.  */
int opt_set (const struct opt_def *def, void *target, const char *value);
/* Checks the length of VALUE.  Returns 0 or BS_EINVAL.  */
int opt_check_length (const struct opt_def *def, const char *value);

#endif
