/** Schemas of single fields that both tables of settings are made of. */
import { z } from 'zod';

export const nonEmptyString = z.string().min(1);

/** An IPv4 address and a port; names are not looked up. */
export const socketAddress = z.string().regex(/^[0-9.]+:\d{1,5}$/, 'must be an address such as 10.0.0.1:8080');

export const positiveNumber = z.number().positive();

export const nonNegative = z.number().min(0);
