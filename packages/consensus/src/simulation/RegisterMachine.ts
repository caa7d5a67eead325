import { StateMachine } from '../lib/StateMachine';

/** An operation on the register. */
export type RegisterOperation =
  | { readonly type: 'write'; readonly id: number; readonly value: number }
  | {
      readonly type: 'swap';
      readonly id: number;
      readonly expected: number;
      readonly value: number;
    };

/** A register of one number, with the ids of the operations that it has seen in order. */
export class RegisterMachine extends StateMachine {
  value = 0;

  applied: number[] = [];

  override apply(_index: number, command: Uint8Array): Uint8Array {
    const operation = JSON.parse(Buffer.from(command).toString()) as RegisterOperation;
    this.applied.push(operation.id);
    const before = this.value;
    if (operation.type === 'write' || before === operation.expected) this.value = operation.value;
    return Buffer.from(String(before));
  }

  override snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify([this.value, this.applied]));
  }

  override restore(snapshot: Uint8Array): void {
    [this.value, this.applied] = JSON.parse(Buffer.from(snapshot).toString()) as [number, number[]];
  }
}
