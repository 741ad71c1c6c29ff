/* Errors of the filter layer.  */
#ifndef FILTER_ERROR_H
#define FILTER_ERROR_H

enum fl_error
{
  FL_OK = 0,
  FL_EINVAL = -601, /* malformed argument */
  FL_ENOMEM = -602, /* allocation failed */
  FL_EFULL = -603,  /* bounded table is full */
  FL_EBUSY = -604,  /* no upstream has a free slot */
  FL_ENOENT = -605, /* there is no upstream */
  FL_ESTALE = -606  /* outdated epoch or expired grant */
};

const char *fl_strerror (int error);

#endif
