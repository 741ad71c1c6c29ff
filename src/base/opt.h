/* What reading settings from flags, variables and files shares.  */
#ifndef SKR_BASE_OPT_H
#define SKR_BASE_OPT_H

#include "skr/opt.h"

enum
{
  OPT_NAME_SIZE = 64, /* bytes of a variable's name with its NUL */
  OPT_EXIT_USAGE = 2
};

/* The variable of the setting NAME.  */
void opt_variable_name (char out[OPT_NAME_SIZE], const char *name);
/* Checks VALUE and puts it into TARGET; a string is pointed at, not copied.
   Returns 0 or BS_EINVAL.  */
int opt_set (const struct opt_def *def, void *target, const char *value);
/* Checks the length of a string.  Returns 0 or BS_EINVAL.  */
int opt_check_length (const struct opt_def *def, const char *value);

#endif
