/** Schemas of single fields, from which the schemas of both settings files are built. */
import * as z from 'zod';

/** A non-empty string, such as a name. */
export const nonEmptyString = z.string().min(1);

/** An IPv4 address and a port; host names are not resolved. */
export const socketAddress = z.string().regex(/^[0-9.]+:\d{1,5}$/, 'must be an address such as 10.0.0.1:8080');

/** A duration or a limit for which 0 would be meaningless. */
export const positiveNumber = z.number().positive();

/** An amount that may be 0. */
export const nonNegative = z.number().min(0);
