/** Schemas of single fields that both tables of settings are made of. */
import * as z from 'zod';

/** A text of at least one character, such as a name. */
export const nonEmptyString = z.string().min(1);

/** An IPv4 address and a port; names are not looked up. */
export const socketAddress = z.string().regex(/^[0-9.]+:\d{1,5}$/, 'must be an address such as 10.0.0.1:8080');

/** A duration or a limit, which would make no sense as 0. */
export const positiveNumber = z.number().positive();

/** An amount, of which there may be none. */
export const nonNegative = z.number().min(0);
