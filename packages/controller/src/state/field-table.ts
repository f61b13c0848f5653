/** Records whose fields have other names in the state service than in the model, by a table of both. Owns no state. */

/** For each field of a model the name under which it is stored. */
export type FieldTable<Model> = Readonly<Record<keyof Model, string>>;

/** The fields of a record as they are stored, by name; nothing is known of their values. */
export type StoredFields = Record<string, unknown>;

/** A record with the fields of the model under their stored names, in the order of the table. */
export function toStoredFields<Model extends object>(model: Model, fields: FieldTable<Model>): StoredFields {
  const stored: StoredFields = {};
  for (const field of Object.keys(fields) as (keyof Model)[]) stored[fields[field]] = model[field];
  return stored;
}

/**
 * The model of a stored record. What isn't a record is returned as it is, and a field that the record lacks stays undefined:
 * other versions write fewer fields, and a record is taken as far as it goes.
 */
export function fromStoredFields<Model extends object>(stored: unknown, fields: FieldTable<Model>): Model {
  if (typeof stored !== 'object' || stored === null) return stored as unknown as Model;
  const model: Partial<Model> = {};
  const record = stored as StoredFields;
  for (const field of Object.keys(fields) as (keyof Model)[]) model[field] = record[fields[field]] as Model[keyof Model];
  return model as Model;
}
