import { Given } from '@cucumber/cucumber';
import type { EndpointPlan } from '@berylwood/testing';
import { CUSTOMERS, PLANS } from '../support/lists';
import type { ScenarioWorld } from '../support/World';

const DATA_CENTRES = ['naas', 'portlaoise', 'drogheda'];

function endpointPlans(engines: number, services: number): EndpointPlan[] {
  const dataCentreOf = (index: number): string => DATA_CENTRES[index % 3] ?? 'naas';
  return [
    ...Array.from({ length: engines }, (_, index) => ({
      name: `engine-${index + 1}`,
      kind: 'engine' as const,
      dataCentre: dataCentreOf(index),
      models: ['crew-8b'],
      decodeRate: 200,
    })),
    ...Array.from({ length: services }, (_, index) => ({
      name: `service-${index + 1}`,
      kind: 'service' as const,
      dataCentre: dataCentreOf(index),
      service: 'dispatch',
    })),
  ];
}

Given(
  /^a deployment( behind relays)? with (\d+) entr(?:y|ies), (\d+) control replicas?, (\d+) engines? and (\d+) services?$/,
  async function deploy(
    this: ScenarioWorld,
    relays: string | null,
    entries: string,
    controls: string,
    engines: string,
    services: string,
  ) {
    await this.deploy({
      entries: Number(entries),
      controls: Number(controls),
      dataCentres: DATA_CENTRES,
      endpoints: endpointPlans(Number(engines), Number(services)),
      plans: PLANS,
      customers: CUSTOMERS,
      relays: relays !== null,
    });
  },
);
