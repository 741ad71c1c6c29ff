#include <ctype.h>
#include <errno.h>
#include <math.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/opt.h"
#include "skr/base.h"

enum
{
  MAX_DEFS = 96,
  /* Values of popt options besides those of the settings, 1 to MAX_DEFS.  */
  OPT_VERSION = MAX_DEFS + 1,
  OPT_HELP = MAX_DEFS + 2
};

void
opt_variable_name (char out[OPT_NAME_SIZE], const char *name)
{
  static const char prefix[] = "SKR_";
  size_t n = sizeof prefix - 1;

  memcpy (out, prefix, n);
  for (; *name && n + 1 < OPT_NAME_SIZE; name++)
    out[n++] = *name == '-' ? '_' : (char)toupper ((unsigned char)*name);
  out[n] = '\0';
}

/* Prints the setting with its allowed range and exits.  */
static void
exit_out_of_range (const char *prog, const struct opt_def *def,
                   const char *value)
{
  char env[OPT_NAME_SIZE];
  const char *value_unit = def->type == OPT_STRING ? " characters" : "";

  opt_variable_name (env, def->name);
  fprintf (stderr,
           "%s: --%s (%s): \"%s\" is not allowed; "
           "must be %lld to %lld%s%s%s\n",
           prog, def->name, env, value, (long long)def->min,
           (long long)def->max, value_unit, *def->unit ? ", unit " : "",
           def->unit);
  exit (OPT_EXIT_USAGE);
}

static int
set_real (const struct opt_def *def, double *field, const char *value)
{
  char *end;
  double n;

  errno = 0;
  n = strtod (value, &end);
  if (errno || end == value || *end || !isfinite (n) || n < (double)def->min
      || n > (double)def->max)
    return BS_EINVAL;
  *field = n;
  return BS_OK;
}

int
opt_check_length (const struct opt_def *def, const char *value)
{
  long long n = (long long)strlen (value);

  return n < def->min || n > def->max ? BS_EINVAL : BS_OK;
}

int
opt_set (const struct opt_def *def, void *target, const char *value)
{
  char *field = (char *)target + def->offset;
  char *end;
  long long n;

  if (def->type == OPT_STRING)
    {
      if (opt_check_length (def, value))
        return BS_EINVAL;
      memcpy (field, &value, sizeof value);
      return BS_OK;
    }
  if (def->type == OPT_REAL)
    return set_real (def, (double *)(void *)field, value);
  errno = 0;
  n = strtoll (value, &end, 10);
  if (errno || end == value || *end || n < def->min || n > def->max)
    return BS_EINVAL;
  if (def->type == OPT_FLAG)
    *(int *)(void *)field = n != 0;
  else
    *(int64_t *)(void *)field = n;
  return BS_OK;
}

static void
set_or_exit (const char *prog, const struct opt_def *def, void *target,
             const char *value)
{
  if (opt_set (def, target, value))
    exit_out_of_range (prog, def, value);
}

static void
print_help (const struct opt_def *defs, const char *prog, const char *usage,
            const char *about)
{
  char env[OPT_NAME_SIZE];

  printf ("Usage: %s %s\n%s\n\nSettings:\n", prog, usage, about);
  for (const struct opt_def *d = defs; d->name; d++)
    {
      opt_variable_name (env, d->name);
      printf ("  --%s%s (%s)\n      %s", d->name,
              d->type == OPT_FLAG ? "" : "=VALUE", env, d->help);
      if (d->type == OPT_INT || d->type == OPT_REAL)
        printf ("; %lld to %lld%s%s", (long long)d->min, (long long)d->max,
                *d->unit ? " " : "", d->unit);
      if (d->type != OPT_FLAG)
        printf ("; default \"%s\"", d->def);
      printf ("\n");
    }
  printf ("  --help\n      print this text\n"
          "  --version\n      print the version\n");
}

static const char *
base_name (const char *path)
{
  const char *slash = strrchr (path, '/');

  return slash ? slash + 1 : path;
}

static int
build_table (const struct opt_def *defs, struct poptOption *table)
{
  int n = 0;

  for (; defs[n].name && n < MAX_DEFS; n++)
    table[n] = (struct poptOption){ defs[n].name,
                                    '\0',
                                    defs[n].type == OPT_FLAG ? POPT_ARG_NONE
                                                             : POPT_ARG_STRING,
                                    NULL,
                                    n + 1,
                                    NULL,
                                    NULL };
  table[n] = (struct poptOption){ "version",   '\0', POPT_ARG_NONE, NULL,
                                  OPT_VERSION, NULL, NULL };
  table[n + 1] = (struct poptOption){ "help",   '?',  POPT_ARG_NONE, NULL,
                                      OPT_HELP, NULL, NULL };
  table[n + 2] = (struct poptOption)POPT_TABLEEND;
  return n;
}

static void
read_arguments (poptContext ctx, const char *prog,
                struct opt_arguments *arguments)
{
  const char **args = poptGetArgs (ctx);
  int n = 0;

  while (args && args[n])
    n++;
  if (!arguments && n)
    {
      fprintf (stderr, "%s: unexpected argument \"%s\"\n", prog, args[0]);
      exit (OPT_EXIT_USAGE);
    }
  if (!arguments)
    return;
  arguments->count = n;
  arguments->args = calloc ((size_t)n + 1, sizeof *arguments->args);
  if (!arguments->args)
    abort ();
  for (int i = 0; i < n; i++)
    arguments->args[i] = strdup (args[i]);
}

/* A string allocated by popt is not freed, since TARGET points to it.  */
static void
set_option (const char *prog, const struct opt_def *def, void *target,
            char *value)
{
  set_or_exit (prog, def, target, def->type == OPT_FLAG ? "1" : value);
  if (def->type != OPT_STRING)
    free (value);
}

void
opt_arguments_fini (struct opt_arguments *arguments)
{
  for (int i = 0; i < arguments->count; i++)
    free ((char *)arguments->args[i]);
  free (arguments->args);
}

void
opt_parse (const struct opt_def *defs, void *target, int argc, char **argv,
           const char *usage, const char *about,
           struct opt_arguments *arguments)
{
  struct poptOption table[MAX_DEFS + 3];
  const char *prog = base_name (argv[0]);
  char env[OPT_NAME_SIZE];
  poptContext ctx;
  int id;

  for (const struct opt_def *d = defs; d->name; d++)
    {
      const char *value;

      opt_variable_name (env, d->name);
      value = getenv (env);
      set_or_exit (prog, d, target, value ? value : d->def);
    }
  build_table (defs, table);
  ctx = poptGetContext (prog, argc, (const char **)argv, table, 0);
  while ((id = poptGetNextOpt (ctx)) > 0)
    {
      if (id == OPT_VERSION)
        {
          printf ("%s %s\n", prog, SKR_VERSION);
          exit (0);
        }
      if (id == OPT_HELP)
        {
          print_help (defs, prog, usage, about);
          exit (0);
        }
      set_option (prog, &defs[id - 1], target, poptGetOptArg (ctx));
    }
  if (id < -1)
    {
      fprintf (stderr, "%s: %s: %s\n", prog, poptBadOption (ctx, 0),
               poptStrerror (id));
      exit (OPT_EXIT_USAGE);
    }
  read_arguments (ctx, prog, arguments);
  poptFreeContext (ctx);
}
