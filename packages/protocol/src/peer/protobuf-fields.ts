/**
 * Types for the tables of protobuf fields of messages between controllers. A table that `satisfies` ProtobufFields has
 * each field of its model type, no other, and a kind that can carry it.
 *
 * Field numbers are the format: controllers of different versions exchange messages. A number is never changed or used
 * again; a new field gets a new number, and receivers that do not know it ignore it.
 */

/** Names of nested messages begin with a capital letter, those of protobuf's own kinds do not. */
type MessageName = Capitalize<string>;

type ProtobufTypeOf<Value> = [Value] extends [boolean]
  ? 'bool'
  : [Value] extends [string]
    ? 'string'
    : [Value] extends [number]
      ? 'double' | 'uint32' | 'sint32' | 'uint64'
      : MessageName;

type ProtobufFieldOf<Value> = Value extends readonly (infer Element)[]
  ? { rule: 'repeated'; type: ProtobufTypeOf<Element>; id: number }
  : { type: ProtobufTypeOf<Value>; id: number };

/** The table of fields of a message that carries this model type. Protobuf has no null: the model's codec maps it. */
export type ProtobufFields<Model> = { [Field in keyof Model]: ProtobufFieldOf<NonNullable<Model[Field]>> };
