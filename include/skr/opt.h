/* Settings: one checked table serves flags and environment alike.  */
#ifndef SKR_OPT_H
#define SKR_OPT_H

#include <stddef.h>
#include <stdint.h>

enum opt_type
{
  OPT_INT,    /* int64_t, checked against min and max */
  OPT_STRING, /* const char *, length checked against min and max */
  OPT_FLAG,   /* int; given without a value on the command line */
  OPT_REAL    /* double, finite, checked against min and max */
};

/* One setting.  The flag is --NAME and the variable SKR_NAME in upper case
   with '-' as '_'.  A flag goes before the variable, and that before DEF.  */
struct opt_def
{
  const char *name;
  enum opt_type type;
  const char *unit; /* "ms", "bytes", "port", "url"; "" without one */
  int64_t min, max; /* range of a number, length range of a string */
  const char *def;  /* default as text */
  const char *help;
  size_t offset; /* of the field in the target struct */
};

/* What the command line held besides settings.  */
struct opt_rest
{
  int count;
  const char **args;
};

/* Puts the lines NAME=VALUE of the file named by --settings or SKR_SETTINGS
   into the environment, where a variable is not set already; to be called
   before opt_parse.  Exits 2 when the file can't be read.  */
void opt_load_file (int argc, char **argv);
/* Reads the same lines into TARGET, checked; names that DEFS lacks are passed
   over.  Returns 0, or BS_EINVAL with a sentence in REASON and TARGET not to
   be used.  Strings are not taken.  */
int opt_read_file (const struct opt_def *defs, void *target, const char *path,
                   char *reason, size_t size);
/* A number that differs once the file has changed; 0 without a file.  */
int64_t opt_file_stamp (const char *path);

void opt_rest_fini (struct opt_rest *arguments);

/* Fills TARGET from the DEFS (ended by a NULL name), ARGV and environment.
   Prints help or version and exits 0 when asked; names the setting, its
   value and its range on standard error and exits 2 when one is bad.
   USAGE is the text after the program's name, ABOUT one line of purpose.
   REST may be NULL when no further arguments are allowed.  */
void opt_parse (const struct opt_def *defs, void *target, int argc,
                char **argv, const char *usage, const char *about,
                struct opt_rest *arguments);

#endif
