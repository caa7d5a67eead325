import { StateMachine } from '../lib/StateMachine';
import { registerSpecification, type RegisterAction } from './registerSpecification';

/** An action as it is replicated. */
export interface RegisterCommand {
  readonly id: number;
  readonly action: RegisterAction;
}

export function encodeCommand(command: RegisterCommand): Uint8Array {
  return Buffer.from(JSON.stringify(command));
}

export function decodeCommand(data: Uint8Array): RegisterCommand {
  return JSON.parse(Buffer.from(data).toString()) as RegisterCommand;
}

/** A register of one number. */
export class RegisterMachine extends StateMachine {
  value = registerSpecification.initial;

  override apply(_index: number, command: Uint8Array): Uint8Array {
    const { state, output } = registerSpecification.step(this.value, decodeCommand(command).action);
    this.value = state;
    return Buffer.from(String(output));
  }

  override snapshot(): Uint8Array {
    return Buffer.from(String(this.value));
  }

  override restore(snapshot: Uint8Array): void {
    this.value = Number(Buffer.from(snapshot).toString());
  }
}
