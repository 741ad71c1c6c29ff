/* Settings: one table defines and checks command-line flags, environment
   variables and the lines of the settings file.  */
#ifndef SKR_OPT_H
#define SKR_OPT_H

#include <stddef.h>
#include <stdint.h>

enum opt_type
{
  OPT_INT,    /* int64_t, checked against min and max */
  OPT_STRING, /* const char *, length checked against min and max */
  OPT_FLAG,   /* int, 0 or 1; takes no value on the command line */
  OPT_REAL    /* double, finite, checked against min and max */
};

/* One setting.  The flag is --NAME; the variable is SKR_NAME in upper case
   with '-' replaced by '_'.  The flag overrides the variable, which overrides
   DEF.  */
struct opt_def
{
  const char *name;
  enum opt_type type;
  const char *unit; /* "ms", "bytes", "port", "url", or "" */
  int64_t min, max; /* range of a number or of a string's length */
  const char *def;  /* default value as text */
  const char *help;
  size_t offset; /* of the field in the target structure */
};

/* Arguments of the command line that are not settings.  */
struct opt_arguments
{
  int count;
  const char **args;
};

/* Reads lines NAME=VALUE from the file named by --settings or SKR_SETTINGS and
   sets the environment variables that are not set already.  To be called
   before opt_parse.  Exits with status 2 when the file can't be opened.  */
void opt_load_file (int argc, char **argv);
/* Reads lines NAME=VALUE from the file PATH, checks them and stores them in
   TARGET.  Names that are not in DEFS are ignored; strings are checked but not
   stored.  Returns 0, or BS_EINVAL with an explanation in REASON, of SIZE
   bytes; TARGET must not be used then.  */
int opt_read_file (const struct opt_def *defs, void *target, const char *path,
                   char *reason, size_t size);
/* Returns a number that changes when the file changes, computed from its
   modification time, size and inode; 0 when the file does not exist.  */
int64_t opt_file_stamp (const char *path);

void opt_arguments_fini (struct opt_arguments *arguments);

/* Fills TARGET from ARGV, the environment and the defaults in DEFS, which is
   terminated by a NULL name.  With --help or --version, prints the text and
   exits with status 0.  For an invalid setting, prints its name, value and
   range to standard error and exits with status 2.  USAGE is the text after
   the program's name; ABOUT is a one-line description.  ARGUMENTS receives the
   other arguments, to be freed by opt_arguments_fini; NULL: none are allowed.
 */
void opt_parse (const struct opt_def *defs, void *target, int argc,
                char **argv, const char *usage, const char *about,
                struct opt_arguments *arguments);

#endif
