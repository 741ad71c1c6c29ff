#include <gnutls/x509.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "fake_cert.h"

enum
{
  DAY_S = 86400
};

static int
fill_certificate (gnutls_x509_crt_t crt, gnutls_x509_privkey_t key)
{
  static const unsigned char address[] = { 127, 0, 0, 1 };
  static const unsigned char serial[] = { 1 };
  time_t now = time (NULL);

  return gnutls_x509_privkey_generate (
             key, GNUTLS_PK_ECDSA,
             GNUTLS_CURVE_TO_BITS (GNUTLS_ECC_CURVE_SECP256R1), 0)
         || gnutls_x509_crt_set_version (crt, 3)
         || gnutls_x509_crt_set_serial (crt, serial, sizeof serial)
         || gnutls_x509_crt_set_activation_time (crt, now - DAY_S)
         || gnutls_x509_crt_set_expiration_time (crt, now + DAY_S)
         || gnutls_x509_crt_set_dn (crt, "CN=test", NULL)
         || gnutls_x509_crt_set_ca_status (crt, 1)
         || gnutls_x509_crt_set_subject_alt_name (crt, GNUTLS_SAN_IPADDRESS,
                                                  address, sizeof address,
                                                  GNUTLS_FSAN_SET)
         || gnutls_x509_crt_set_key (crt, key)
         || gnutls_x509_crt_sign2 (crt, crt, key, GNUTLS_DIG_SHA256, 0);
}

static char *
take_text (gnutls_datum_t *pem)
{
  char *text = strndup ((const char *)pem->data, pem->size);

  gnutls_free (pem->data);
  return text;
}

int
fake_cert (char **cert, char **key_text)
{
  gnutls_datum_t crt_pem, key_pem;
  gnutls_x509_crt_t crt;
  gnutls_x509_privkey_t key;
  int error;

  gnutls_x509_crt_init (&crt);
  gnutls_x509_privkey_init (&key);
  error = fill_certificate (crt, key)
          || gnutls_x509_crt_export2 (crt, GNUTLS_X509_FMT_PEM, &crt_pem);
  if (!error)
    *cert = take_text (&crt_pem);
  if (!error
      && !gnutls_x509_privkey_export2 (key, GNUTLS_X509_FMT_PEM, &key_pem))
    *key_text = take_text (&key_pem);
  gnutls_x509_crt_deinit (crt);
  gnutls_x509_privkey_deinit (key);
  return error ? -1 : 0;
}
