import { z } from 'zod';

export const nonEmptyString = z.string().min(1);
export const socketAddress = z.string().regex(/^[0-9.]+:\d{1,5}$/, 'must be an address such as 10.0.0.1:8080');
export const positiveNumber = z.number().positive();
export const nonNegative = z.number().min(0);
