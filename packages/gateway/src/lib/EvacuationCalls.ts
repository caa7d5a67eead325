import type { IncomingMessage, ServerResponse } from 'node:http';
import { Failure, type Journal, type Timer } from '@berylwood/base';
import type { EvacuateOutcome, Mesh } from '@berylwood/registry';
import { gatewayCodes } from './codes';
import { decodeDataCentre } from './decodeDataCentre';
import { gatewayEvents } from './events';
import { postponeCall } from './postponeCall';
import { sendFailure } from './sendFailure';

interface EvacuationCallsOptions {
  readonly mesh: Pick<Mesh, 'evacuate'>;
  readonly journal: Journal;
  readonly timer: Timer;
}

/** Reasons for which an order that the registry has received is not in force. */
const REFUSALS: Record<Exclude<EvacuateOutcome['result'], 'inForce'>, string> = {
  outdated: 'another order was committed meanwhile',
  tooMany: 'too many data centres are evacuated',
};

/** Calls of operators: POST starts the evacuation of a data centre, DELETE ends it. @internal */
export class EvacuationCalls {
  readonly #options: EvacuationCallsOptions;

  constructor(options: EvacuationCallsOptions) {
    this.#options = options;
  }

  /** @param segment - the part of the path that names the data centre, as received. */
  async serve(request: IncomingMessage, segment: string, response: ServerResponse): Promise<void> {
    const { method } = request;
    if (method !== 'POST' && method !== 'DELETE') {
      response.writeHead(405, { Allow: 'DELETE, POST' }).end();
      return;
    }
    const decoded = decodeDataCentre(segment);
    if (decoded.isErr()) {
      this.#refuse(response, method, undefined, decoded.error);
      return;
    }
    const dataCentre = decoded.value;
    const order = await this.#options.mesh.evacuate(dataCentre, method === 'POST');
    if (order.isErr()) this.#postpone(response, method, dataCentre, order.error.message);
    else this.#answer(response, method, dataCentre, order.value);
  }

  #answer(
    response: ServerResponse,
    method: string,
    dataCentre: string,
    { result, revision }: EvacuateOutcome,
  ): void {
    if (result === 'inForce') {
      this.#log('inForce', { method, dataCentre, revision });
      response.writeHead(200, { 'Content-Length': 0 }).end();
    } else if (result === 'outdated') {
      this.#postpone(response, method, dataCentre, REFUSALS.outdated);
    } else {
      const failure = new Failure(gatewayCodes.tooManyEvacuations, REFUSALS.tooMany);
      this.#refuse(response, method, dataCentre, failure);
    }
  }

  #refuse(
    response: ServerResponse,
    method: string,
    dataCentre: string | undefined,
    failure: Failure,
  ): void {
    this.#log('refused', { method, dataCentre, reason: failure.message });
    sendFailure(response, failure, { timer: this.#options.timer });
  }

  #postpone(response: ServerResponse, method: string, dataCentre: string, reason: string): void {
    this.#log('postponed', { method, dataCentre, reason });
    postponeCall(response, reason);
  }

  #log(outcome: string, fields: Record<string, unknown>): void {
    this.#options.journal.record(gatewayEvents.operatorAnswered, { outcome, ...fields });
  }
}
