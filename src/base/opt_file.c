/* The settings file: lines NAME=VALUE, where NAME is that of the flag.  */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "base/opt.h"
#include "skr/base.h"

enum
{
  LINE_SIZE = 1024 /* bytes */
};

/* Strips the line break and splits LINE at the first '='.  Returns 0 for a
   comment or a line without a setting.  */
static int
split_line (char *line, char **value)
{
  char *equals;

  line[strcspn (line, "\r\n")] = '\0';
  equals = strchr (line, '=');
  if (*line == '#' || !equals || equals == line)
    return 0;
  *equals = '\0';
  *value = equals + 1;
  return 1;
}

static void
set_variable (const char *name, const char *value)
{
  char variable[OPT_NAME_SIZE];

  opt_variable_name (variable, name);
  setenv (variable, value, 0);
}

static const char *
find_path (int argc, char **argv)
{
  static const char flag[] = "--settings";
  size_t n = sizeof flag - 1;

  for (int i = 1; i < argc; i++)
    {
      if (!strncmp (argv[i], flag, n) && argv[i][n] == '=')
        return argv[i] + n + 1;
      if (!strcmp (argv[i], flag) && i + 1 < argc)
        return argv[i + 1];
    }
  return getenv ("SKR_SETTINGS");
}

void
opt_load_file (int argc, char **argv)
{
  const char *path = find_path (argc, argv);
  char line[LINE_SIZE], *value;
  FILE *file;

  if (!path || !*path)
    return;
  file = fopen (path, "r");
  if (!file)
    {
      fprintf (stderr, "%s: %s: %s\n", argv[0], path, strerror (errno));
      exit (OPT_EXIT_USAGE);
    }
  while (fgets (line, sizeof line, file))
    if (split_line (line, &value))
      set_variable (line, value);
  fclose (file);
}

/* Strings are checked but not stored, since VALUE is in the buffer of the
   line.  */
static int
read_setting (const struct opt_def *def, void *target, const char *value)
{
  if (def->type == OPT_STRING)
    return opt_check_length (def, value);
  return opt_set (def, target, value);
}

int
opt_read_file (const struct opt_def *defs, void *target, const char *path,
               char *reason, size_t size)
{
  FILE *file = fopen (path, "r");
  char line[LINE_SIZE], *value;
  int error = BS_OK;

  if (!file)
    {
      snprintf (reason, size, "%s", strerror (errno));
      return BS_EINVAL;
    }
  while (!error && fgets (line, sizeof line, file))
    {
      const struct opt_def *d = defs;

      if (!split_line (line, &value))
        continue;
      while (d->name && strcmp (d->name, line) != 0)
        d++;
      if (!d->name || !read_setting (d, target, value))
        continue;
      snprintf (reason, size,
                "%s: \"%s\" is not allowed; must be %lld to "
                "%lld %s",
                d->name, value, (long long)d->min, (long long)d->max, d->unit);
      error = BS_EINVAL;
    }
  fclose (file);
  return error;
}

int64_t
opt_file_stamp (const char *path)
{
  struct stat st;

  if (!path || !*path || stat (path, &st))
    return 0;
  return st.st_mtim.tv_sec * 1000000000LL + st.st_mtim.tv_nsec
         + (int64_t)st.st_size + (int64_t)st.st_ino;
}
