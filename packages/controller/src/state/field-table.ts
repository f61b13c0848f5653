/** Conversion of records whose stored field names differ from the model's, by a table of both names. Owns no state. */

/** The stored name of each field of a model. */
export type FieldTable<Model> = Readonly<Record<keyof Model, string>>;

/** The fields of a stored record, by stored name. Their values aren't validated. */
export type StoredFields = Record<string, unknown>;

/** Returns the model's fields under their stored names, in the order of the table. */
export function toStoredFields<Model extends object>(model: Model, fields: FieldTable<Model>): StoredFields {
  const stored: StoredFields = {};
  for (const field of Object.keys(fields) as (keyof Model)[]) stored[fields[field]] = model[field];
  return stored;
}

/**
 * Returns the model of a stored record. A value that isn't an object is returned unchanged. A field that is missing from the
 * record stays undefined: other versions write fewer fields, and the fields that are present are still used.
 */
export function fromStoredFields<Model extends object>(stored: unknown, fields: FieldTable<Model>): Model {
  if (typeof stored !== 'object' || stored === null) return stored as unknown as Model;
  const model: Partial<Model> = {};
  const record = stored as StoredFields;
  for (const field of Object.keys(fields) as (keyof Model)[]) model[field] = record[fields[field]] as Model[keyof Model];
  return model as Model;
}
