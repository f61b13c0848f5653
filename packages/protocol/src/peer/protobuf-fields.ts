/**
 * Types for the tables of protobuf fields of messages between controllers. A table that `satisfies` ProtobufFields has
 * exactly the fields of its model type, each with a protobuf type that can represent its values.
 *
 * Field numbers define the wire format, because controllers of different versions exchange messages. Never change or reuse a
 * number. A new field gets a new number; receivers that do not know the number ignore the field.
 */

/** The name of a nested message. It begins with a capital letter, unlike the names of protobuf's scalar types. */
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

/** The field table of the message for a model type. Protobuf has no null: the model's codec replaces it. */
export type ProtobufFields<Model> = { [Field in keyof Model]: ProtobufFieldOf<NonNullable<Model[Field]>> };
